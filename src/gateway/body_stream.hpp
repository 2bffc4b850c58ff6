// A body on its way through the gateway in pieces: one side fills it, the other takes from it.
#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace hollyrun::gateway {

inline constexpr std::uint64_t kHeldBody = 64 << 10;  // so much is held whole, and may be resent
inline constexpr std::uint64_t kMostBody = 32 << 20;  // of a request

// Bytes that all bodies of the process hold together.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
  void limit(std::size_t bytes) { limit_ = bytes; }
  void add(std::size_t bytes) { used_ += bytes; }
  void give(std::size_t bytes) { used_ -= bytes; }
  bool room(std::size_t bytes) const { return used_ + bytes <= limit_; }
  // What one stream may hold: less when all together hold much, and never nothing, or none would move on.
  std::size_t piece() const { return used_ < limit_ / 2 ? 32 << 10 : 4 << 10; }

 private:
  std::size_t limit_, used_ = 0;
};

// Bytes taken from the budget, given back at the end.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  MemoryReservation(std::shared_ptr<MemoryBudget> budget, std::size_t bytes)
      : budget_(std::move(budget)), bytes_(bytes) {
    budget_->add(bytes_);
  }
  MemoryReservation(MemoryReservation&& other) noexcept
      : budget_(std::move(other.budget_)), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~MemoryReservation() { resize(0); }
  void resize(std::size_t bytes) {
    if (!budget_)
      return;
    budget_->give(bytes_);
    budget_->add(bytes_ = bytes);
  }

 private:
  std::shared_ptr<MemoryBudget> budget_;
  std::size_t bytes_ = 0;
};

class BodyStream {
 public:
  explicit BodyStream(std::shared_ptr<MemoryBudget> budget) : budget_(budget), share_(std::move(budget), 0) {}

  // --- The side that fills ---
  std::function<void()> onRoom;  // there is room again, or nobody wants the rest
  void append(const std::string& piece) {
    if (abandoned_ || piece.empty())
      return;
    data_ += piece;
    share_.resize(data_.size() + taken_);
    tell(onData);
  }
  void finish() {
    finished_ = true;
    tell(onData);
  }
  void fail() {  // the rest will not come
    failed_ = !finished_;
    tell(onData);
  }
  bool full() const { return data_.size() >= budget_->piece(); }
  bool abandoned() const { return abandoned_; }

  // --- The side that takes ---
  std::function<void()> onData;  // more has come, or its end
  std::string take() {           // what was taken last is done with
    touched_ = true;
    taken_ = data_.size();
    std::string piece = std::exchange(data_, {});
    share_.resize(taken_);
    if (!piece.empty())
      tell(onRoom);
    return piece;
  }
  bool finished() const { return finished_ && data_.empty(); }
  bool failed() const { return failed_; }
  bool touched() const { return touched_; }  // it can't be taken from its start any more
  void abandon() {
    if (std::exchange(abandoned_, true))
      return;
    onData = nullptr;
    data_.clear();
    share_.resize(0);
    tell(onRoom);
  }

 private:
  // Danger: the other side may replace the function while it runs.
  static void tell(const std::function<void()>& whom) {
    if (const auto copy = whom)
      copy();
  }

  std::shared_ptr<MemoryBudget> budget_;
  MemoryReservation share_;
  std::string data_;
  std::size_t taken_ = 0;
  bool finished_ = false, failed_ = false, abandoned_ = false, touched_ = false;
};

// A message's body as the parser puts it piece by piece, for whoever takes it out between. Danger: Beast's
// own string_body reserves all that a peer announces.
struct PieceBody {
  using value_type = std::string;
  class reader {
   public:
    template <bool request, class Fields>
    reader(boost::beast::http::header<request, Fields>&, value_type& body) : body_(body) {}
    template <class Length>
    void init(const Length&, boost::system::error_code& ec) {
      ec = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& ec) {
      ec = {};
      std::size_t bytes = 0;
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer buffer(*it);
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        bytes += buffer.size();
      }
      return bytes;
    }
    void finish(boost::system::error_code& ec) { ec = {}; }

   private:
    value_type& body_;
  };
};

// One piece in the chunked coding; an empty one ends the body.
inline std::string chunkOf(const std::string& piece) {
  static const char* const digits = "0123456789abcdef";
  std::string size;
  for (std::size_t n = piece.size(); n > 0 || size.empty(); n /= 16)
    size.insert(size.begin(), digits[n % 16]);
  return size + "\r\n" + piece + "\r\n";
}

}  // namespace hollyrun::gateway
