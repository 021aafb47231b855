// The one account of the memory that clients and servers make this process hold.
//
// Who charges what:
//   Buffers      BufferPool, the capacity of each buffer that is in use (bytes read, bodies, streams)
//   Heads        HttpMessage, Outgoing and ClientSession: heads as parsed, heads as written, request ids
//   Connections  ClientSession and Connection: a fixed amount each, for themselves and the tables they are in
// What cannot be charged is measured ten times a second (http/memory_guard.h): the kernel's part of all
// sockets, and the resident memory of the process.
//
// The parts of the limit, in sixteenths (kParts):
//   at most 7    charged; from 3 on, buffers of streams are small, and nothing is read ahead of a response;
//                from 5 on, whoever stands still is closed; at 6, a request that is not whole gets 503 as
//                soon as more of it comes, and the seventh is for the first bytes of others
//   at most 4    in the kernel; from 2 on, all sockets get small buffers, above 4 whoever stands still is
//                closed
//   1            buffers that are free, for the next to take
//   4            the process itself, and what malloc keeps
// Above 15 of them in all (resident and in the kernel) the process gives unused pages back to the system, and
// then whoever stands still is closed, whatever its account says.
//
// Who goes first: requests that are not whole and whose client stands still, request bodies whose client
// stands still, and responses whose client does not read them; of these the largest amount held for the
// longest time. A client that moves goes on, and one that waits for its server is never closed for memory.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <unordered_set>
#include <utility>

namespace ochrehub {

class ConnectionCharge;

class MemoryAccount {
public:
    enum class Kind { Buffers, Heads, Connections, kKinds };

    explicit MemoryAccount(std::size_t memory_mb) { set_limit(memory_mb); }

    /// What this process may hold from now on: half of the node's limit while another process of it runs.
    void set_limit(std::size_t memory_mb) { limit_ = memory_mb << 20; }
    std::size_t limit() const { return limit_; }
    std::size_t parts(std::size_t count) const { return limit_ / kParts * count; }

    void charge(Kind kind, std::size_t bytes) {
        charged_[std::size_t(kind)] += bytes;
        total_ += bytes;
    }
    void release(Kind kind, std::size_t bytes) {
        charged_[std::size_t(kind)] -= bytes;
        total_ -= bytes;
    }
    std::size_t charged(Kind kind) const { return charged_[std::size_t(kind)]; }
    std::size_t charged() const { return total_; }

    /// What need not be large is to be small, and nothing is read ahead.
    bool is_tight() const { return total_ >= parts(kTightParts); }
    /// Whoever stands still is to be closed.
    bool is_scarce() const { return total_ >= parts(kScarceParts); }
    /// Nothing more is to be taken for requests that are not whole.
    bool is_exhausted() const { return total_ >= parts(kExhaustedParts); }
    /// Nor for the first bytes of one.
    bool is_full() const { return total_ >= parts(kFullParts); }
    /// How much has to be given back until it is not scarce any more.
    std::size_t excess() const { return is_scarce() ? total_ - parts(kScarceParts) + 1 : 0; }

    /// Of all connections of the process, for what the kernel holds of each.
    const std::unordered_set<const ConnectionCharge*>& connections() const { return connections_; }

    static constexpr std::size_t kParts = 16;
    static constexpr std::size_t kTightParts = 3, kScarceParts = 5, kExhaustedParts = 6, kFullParts = 7;
    static constexpr std::size_t kSmallSocketsParts = 2, kMaxSocketsParts = 4;
    static constexpr std::size_t kFreeBuffersParts = 1;
    static constexpr std::size_t kLastLineParts = 15;

    /// For one connection: itself, its parser, its places in tables, what the event loop keeps of it.
    static constexpr std::size_t kConnectionBytes = std::size_t{4} * 1024;

private:
    friend class ConnectionCharge;

    std::unordered_set<const ConnectionCharge*> connections_;
    std::size_t limit_ = 0, total_ = 0;
    std::array<std::size_t, std::size_t(Kind::kKinds)> charged_{};
};

/// An amount on the account, taken off it when this goes. The account must outlive it.
class MemoryCharge {
public:
    MemoryCharge(MemoryAccount& account, MemoryAccount::Kind kind, std::size_t bytes = 0)
        : account_(&account), kind_(kind), bytes_(bytes) {
        account_->charge(kind_, bytes_);
    }
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;
    ~MemoryCharge() { account_->release(kind_, bytes_); }

    void set(std::size_t bytes) {
        if (bytes == bytes_) return;
        account_->release(kind_, std::exchange(bytes_, bytes));
        account_->charge(kind_, bytes_);
    }
    std::size_t bytes() const { return bytes_; }

private:
    MemoryAccount* account_;
    MemoryAccount::Kind kind_;
    std::size_t bytes_;
};

/// The fixed amount of a connection, and its socket for as long as that is open. Must go before the socket.
class ConnectionCharge {
public:
    ConnectionCharge(MemoryAccount& account, boost::asio::ip::tcp::socket& socket);
    ConnectionCharge(const ConnectionCharge&) = delete;
    ConnectionCharge& operator=(const ConnectionCharge&) = delete;
    ~ConnectionCharge();

    /// None: it is not open.
    std::optional<int> descriptor() const;

private:
    MemoryAccount& account_;
    MemoryCharge charge_;
    boost::asio::ip::tcp::socket& socket_;
};

}  // namespace ochrehub
