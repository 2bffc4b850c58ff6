// An emulated discovery for thousands of stub servers: one list with revisions, whole lists and watches by
// the published protocol, and a count of what each of its addresses sent.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hollyrun::lab {

struct ListedServer {
  std::string uid, zone;
  boost::asio::ip::tcp::endpoint endpoint;
  std::int64_t cell = 0;
};

class StubDiscovery {
 public:
  struct Counts {
    std::uint64_t calls = 0, wholeLists = 0, bytesIn = 0, bytesOut = 0;
  };

  StubDiscovery(boost::asio::io_context& io, const std::vector<ListedServer>& servers);
  ~StubDiscovery();
  StubDiscovery(const StubDiscovery&) = delete;
  StubDiscovery& operator=(const StubDiscovery&) = delete;

  /// A further address of it, with counts of its own; its number, from 0.
  std::size_t addAddress();
  boost::asio::ip::tcp::endpoint endpoint(std::size_t address) const;
  const Counts& counts(std::size_t address) const;

  std::int64_t revision() const { return revision_; }
  /// The server changes between SERVING and DRAINING, and every watch is told. The new revision.
  std::int64_t change(std::size_t server);
  /// Closes every connection and refuses new ones, as a cut between regions does, until resume().
  void suspend();
  /// `anew`: it has forgotten its revisions, so that every client has to take the whole list.
  void resume(bool anew);

 private:
  struct Entry;
  struct Address;
  class Connection;

  void accept(Address& address);
  void listen(Address& address);
  void answer(Connection& connection, const std::string& target);
  void tellWatches();
  std::shared_ptr<const std::string> wholeList();
  std::shared_ptr<const std::string> changesSince(std::int64_t revision);

  boost::asio::io_context& io_;
  std::vector<Entry> entries_;
  std::vector<std::unique_ptr<Address>> addresses_;
  std::vector<std::shared_ptr<Connection>> watches_;
  std::shared_ptr<const std::string> whole_;  // as last made, for this revision
  std::int64_t wholeAt_ = -1, revision_ = 1;
  bool suspended_ = false;
};

}  // namespace hollyrun::lab
