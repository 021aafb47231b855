// Asks a node whether it serves, again and again till it does.
#pragma once

#include <functional>
#include <memory>

#include "lab/play/address.h"
#include "lab/play/loop.h"

namespace ochrehub::lab {

class HealthCheck : public std::enable_shared_from_this<HealthCheck> {
public:
    /// `up` runs once, on the loop, when GET /healthz has answered 200.
    static std::shared_ptr<HealthCheck> begin(Loop& loop, const Endpoint& at, std::function<void()> up);
    /// Not any more.
    void stop();

private:
    HealthCheck(Loop& loop, const Endpoint& at, std::function<void()> up);
    void ask();
    void again();
    void read(std::size_t turn);

    Loop& loop_;
    Endpoint at_;
    std::function<void()> up_;
    boost::asio::ip::tcp::socket socket_;
    std::string heard_;
    std::size_t turn_ = 0;
};

}  // namespace ochrehub::lab
