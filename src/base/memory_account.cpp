#include "base/memory_account.h"

namespace ochrehub {

ConnectionCharge::ConnectionCharge(MemoryAccount& account, boost::asio::ip::tcp::socket& socket)
    : account_(account),
      charge_(account, MemoryAccount::Kind::Connections, MemoryAccount::kConnectionBytes),
      socket_(socket) {
    account_.connections_.insert(this);
}

ConnectionCharge::~ConnectionCharge() {
    account_.connections_.erase(this);
}

std::optional<int> ConnectionCharge::descriptor() const {
    return socket_.is_open() ? std::optional(socket_.native_handle()) : std::nullopt;
}

}  // namespace ochrehub
