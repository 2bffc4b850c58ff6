/// Constants of the datagram format that the encoder and the decoder share.
#pragma once

#include <cstddef>
#include <cstdint>

namespace hollyrun::membership {

/// A receiver reads the elements that it knows and skips those that later versions append.
inline constexpr std::uint64_t kFormatVersion = 1;
inline constexpr std::size_t kHeaderElements = 8;  ///< of the array, before those of a message type
/// A CBOR number of eight bytes after the array: the array's hash. UDP's own checksum has 16 bits and relays
/// recompute it; without this hash one corrupted byte could declare a living member dead.
inline constexpr std::size_t kChecksumBytes = 9;

}  // namespace hollyrun::membership
