// One loop of a play: its thread, its timers and the records of what happened on it.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <exception>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "base/asio_scheduler.h"
#include "base/buffer_pool.h"
#include "lab/record/record.h"

namespace ochrehub::lab {

class Loop {
public:
    static constexpr std::size_t kBuffersMb = 64;
    static constexpr Duration kGapStep{10}, kGapLeast{30};

    explicit Loop(Clock clock) : clock_(clock), scheduler_(io_, clock), work_(io_.get_executor()) {}
    ~Loop() { join(); }

    boost::asio::io_context& io() { return io_; }
    Scheduler& scheduler() { return scheduler_; }
    BufferPool& pool() { return pool_; }
    TimePoint now() const { return clock_.now(); }

    /// Only on the loop itself, or while it does not run.
    void note(Record record) { records_.push_back(std::move(record)); }
    std::vector<Record>& records() { return records_; }

    /// Spans in which it should have run and did not: the machine, or what runs on the loop, stood still.
    struct Gap {
        TimePoint from{}, to{};
    };
    const std::vector<Gap>& gaps() const { return gaps_; }
    /// Looks out for them from here on.
    void watch_gaps() {
        TimePoint due = now() + kGapStep;
        scheduler_.call_at(due, [this, due] {
            TimePoint late = now();
            if (late - due >= kGapLeast) gaps_.push_back({due - kGapStep, late});
            watch_gaps();
        });
    }

    void start() {
        thread_ = std::thread([this] { run(); });
    }
    /// In the caller's thread, till the loop is stopped.
    void run() {
        try {
            io_.run();
        } catch (...) {
            fault_ = std::current_exception();
            ended_ = true;
        }
    }
    /// Runs it on the loop, without waiting.
    template <class F>
    void post(F&& what) {
        boost::asio::post(io_, std::forward<F>(what));
    }
    /// Runs it on the loop and waits for what it returns. Never from the loop's own thread; throws what the
    /// loop ended by, if it has.
    template <class F>
    auto call(F what) -> decltype(what()) {
        using Out = decltype(what());
        auto task = std::make_shared<std::packaged_task<Out()>>(std::move(what));
        std::future<Out> out = task->get_future();
        boost::asio::post(io_, [task] { (*task)(); });
        while (out.wait_for(std::chrono::milliseconds(50)) != std::future_status::ready)
            if (ended_) std::rethrow_exception(fault_);
        return out.get();
    }
    bool failed() const { return ended_; }
    void stop() { io_.stop(); }
    /// Ends it and waits for its thread.
    void join() {
        io_.stop();
        if (thread_.joinable()) thread_.join();
    }
    /// The same, and rethrows what ended the loop, if anything did.
    void finish() {
        join();
        if (fault_) std::rethrow_exception(std::exchange(fault_, nullptr));
    }

private:
    Clock clock_;
    BufferPool pool_{kBuffersMb};  // before the loop: pending handlers still hold buffers when it goes
    boost::asio::io_context io_{1};
    AsioScheduler scheduler_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::vector<Record> records_;
    std::vector<Gap> gaps_;
    std::thread thread_;
    std::exception_ptr fault_;
    std::atomic<bool> ended_ = false;  ///< by a fault
};

}  // namespace ochrehub::lab
