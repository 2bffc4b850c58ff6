// Emulates discovery for thousands of stub servers: an endpoint list with revisions, which is served whole or
// as watches by the published protocol, with traffic counts for each of its addresses.
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
  std::int64_t cell = 0;  ///< sent as pod_group
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

  /// Listens on a further address, which has counts of its own, and returns its number, from 0.
  std::size_t addAddress();
  boost::asio::ip::tcp::endpoint endpoint(std::size_t address) const;
  const Counts& counts(std::size_t address) const;

  std::int64_t revision() const { return revision_; }
  /// Switches the server between SERVING and DRAINING, notifies all watches and returns the new revision.
  std::int64_t toggleDraining(std::size_t server);
  /// Closes all connections and refuses new ones until resume(), as a network partition between regions does.
  void suspend();
  /// Accepts connections again. With `revisionsLost` the revisions restart, so that every client has to fetch
  /// the whole list.
  void resume(bool revisionsLost);

 private:
  struct Entry;
  struct Address;
  class Connection;

  void accept(Address& address);
  void listen(Address& address);
  void answer(Connection& connection, const std::string& target);
  void notifyWatches();
  std::shared_ptr<const std::string> wholeList();
  std::shared_ptr<const std::string> changesSince(std::int64_t revision);

  boost::asio::io_context& io_;
  std::vector<Entry> entries_;
  std::vector<std::unique_ptr<Address>> addresses_;
  std::vector<std::shared_ptr<Connection>> watches_;
  std::shared_ptr<const std::string> wholeList_;  // cached
  std::int64_t wholeListRevision_ = -1, revision_ = 1;
  bool suspended_ = false;
};

}  // namespace hollyrun::lab
