#include "figures/outlet.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cerrno>
#include <climits>
#include <csignal>
#include <utility>

namespace ochrehub::figures {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

class Descriptor : public Outlet {
public:
    /// Takes an open one that others share, or opens `path` itself.
    Descriptor(int shared, std::string path) : fd_(shared), path_(std::move(path)) {
        std::signal(SIGPIPE, SIG_IGN);  // a reader that goes away must not end the node
    }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    ~Descriptor() override { shut(); }

    Sent send(std::string_view batch, std::size_t& sent) override {
        if (fd_ < 0) fd_ = open(path_.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_NONBLOCK | O_CLOEXEC, 0644);
        if (fd_ < 0) return Sent::Lost;
        // The batch that broke off in the middle of a line has gone: this one must not go on in that line.
        if (sent == 0 && torn_) {
            if (write("\n", 1) != 1) return errno == EAGAIN ? Sent::Blocked : Sent::Lost;
            torn_ = false;
        }
        while (sent < batch.size()) {
            std::string_view piece = batch.substr(sent, PIPE_BUF);
            if (piece.size() + sent < batch.size()) piece = piece.substr(0, piece.rfind('\n') + 1);
            if (piece.empty()) piece = batch.substr(sent, PIPE_BUF);  // one line alone is longer
            ssize_t wrote = write(piece.data(), piece.size());
            if (wrote < 0 && errno == EINTR) continue;
            if (wrote < 0 && errno == EAGAIN) return Sent::Blocked;
            if (wrote < 0) {
                shut();
                return Sent::Lost;
            }
            sent += std::size_t(wrote);
            torn_ = batch[sent - 1] != '\n';
        }
        return Sent::Whole;
    }

private:
    // Standard error is shared, so it must not be made non-blocking: it is asked for room. A pipe that says
    // it has some takes PIPE_BUF bytes.
    ssize_t write(const char* bytes, std::size_t size) const {
        pollfd room{fd_, POLLOUT, 0};
        int unread = 0, holds = path_.empty() ? fcntl(fd_, F_GETPIPE_SZ) : -1;
        bool logs_room =
            holds > 0 && ioctl(fd_, FIONREAD, &unread) == 0 && unread > 0 && unread + int(size) > holds / 4;
        if (logs_room || poll(&room, 1, 0) == 0) {
            errno = EAGAIN;
            return -1;
        }
        return ::write(fd_, bytes, size);
    }
    void shut() {
        if (!path_.empty() && fd_ >= 0) close(std::exchange(fd_, -1));
    }

    int fd_;
    std::string path_;
    bool torn_ = false;
};

class Datagrams : public Outlet {
public:
    Datagrams(asio::io_context& io, const udp::endpoint& collector) : socket_(io), collector_(collector) {}

    Sent send(std::string_view batch, std::size_t& sent) override {
        error_code error;
        if (!socket_.is_open()) {
            socket_.open(collector_.protocol(), error);
            if (!error) socket_.non_blocking(true, error);
            if (!error) socket_.connect(collector_, error);
        }
        if (!error) socket_.send(asio::buffer(batch), 0, error);
        if (error == asio::error::connection_refused) return Sent::EarlierRefused;
        if (error == asio::error::would_block) return Sent::Blocked;
        if (error) {  // no route, no descriptor, too large for the path: the next batch tries anew
            error_code ignored;
            socket_.close(ignored);
            return Sent::Lost;
        }
        sent = batch.size();
        return Sent::Whole;
    }
    bool earlier_refused() override {
        int error = 0;
        socklen_t size = sizeof error;
        return socket_.is_open() &&
               getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
               error == ECONNREFUSED;
    }

private:
    udp::socket socket_;
    udp::endpoint collector_;
};

}  // namespace

std::unique_ptr<Outlet> to_stderr() {
    return std::make_unique<Descriptor>(STDERR_FILENO, "");
}

std::unique_ptr<Outlet> to_file(const std::string& path) {
    return std::make_unique<Descriptor>(-1, path);
}

std::unique_ptr<Outlet> to_udp(asio::io_context& io, const udp::endpoint& collector) {
    return std::make_unique<Datagrams>(io, collector);
}

}  // namespace ochrehub::figures
