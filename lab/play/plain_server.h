// A stand-in server without a model: answers each request at once. For measuring what asks it.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "lab/model/day.h"
#include "lab/play/address.h"

namespace ochrehub::lab {

class PlainServer {
public:
    /// `threads` loops, all of them listening at one address of its own.
    explicit PlainServer(int threads, std::size_t body_size = 64);
    ~PlainServer();

    const Endpoint& address() const;
    /// All its loops stand still at once for so long: nothing is read, accepted or answered.
    void stand_still(Duration length);
    std::uint64_t answered() const;
    /// CPU time of its threads up to now.
    double cpu_s() const;
    void stop();

private:
    class Worker;
    std::unique_ptr<boost::asio::io_context> holder_;
    std::unique_ptr<Held> held_;
    std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace ochrehub::lab
