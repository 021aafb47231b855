// A thread beside the node's loop: it runs a loop of its own and takes no signal, which are the node's
// loop's.
#pragma once

#include <pthread.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <exception>
#include <thread>
#include <utility>

namespace ochrehub {

/// Runs `io` till it is stopped. What a handler throws ends the loop and is handed to `failed`, on that
/// thread.
template <class Failed>
std::thread side_thread(boost::asio::io_context& io, Failed failed) {
    sigset_t all, before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    std::thread thread([&io, failed = std::move(failed)] {
        try {
            io.run();
        } catch (const std::exception& error) {
            failed(error);
        }
    });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    return thread;
}

}  // namespace ochrehub
