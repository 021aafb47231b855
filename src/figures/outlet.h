// Where batches of figures go: standard error, a file or a UDP collector. None of them may hold up the one
// thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace ochrehub::figures {

class Outlet {
public:
    enum class Sent { Whole, Blocked, Lost, EarlierRefused };

    virtual ~Outlet() = default;
    /// Sends what goes at once of `batch` behind its first `sent` bytes, and moves `sent` on. Blocked: the
    /// rest may go later. EarlierRefused: the batch before had seemed to go, but was refused; nothing of this
    /// one has gone.
    virtual Sent send(std::string_view batch, std::size_t& sent) = 0;
    /// True once, like EarlierRefused, without a batch to send.
    virtual bool earlier_refused() { return false; }
};

std::unique_ptr<Outlet> to_stderr();
/// Opened with the first batch, and again behind each that was lost.
std::unique_ptr<Outlet> to_file(const std::string& path);
std::unique_ptr<Outlet> to_udp(boost::asio::io_context& io, const boost::asio::ip::udp::endpoint& collector);

}  // namespace ochrehub::figures
