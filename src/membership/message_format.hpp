/// Constants of the datagram format, shared by the encoder and the decoder.
#pragma once

#include <cstddef>
#include <cstdint>

namespace hollyrun::membership {

/// Receivers skip unknown elements, which later versions append to an array.
inline constexpr std::uint64_t kFormatVersion = 1;
inline constexpr std::size_t kHeaderElements = 8;  ///< elements before those of the message type
/// The checksum is a hash of the array, encoded as an eight-byte CBOR integer. UDP's checksum has only 16
/// bits and relays recompute it; without the hash, one corrupted byte could declare a living member dead.
inline constexpr std::size_t kChecksumBytes = 9;

}  // namespace hollyrun::membership
