// Buffers for bytes that are read, and for bodies. They start small, grow with what they hold up to kSize,
// and are charged to the process's account of memory. One is taken only while a message is in hand.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "base/memory_account.h"

namespace ochrehub {

class BufferPool;

/// Hands its memory back to the pool when it goes. Empty until taken from one.
class Buffer {
public:
    Buffer() = default;
    Buffer(Buffer&& other) noexcept { swap(other); }
    Buffer& operator=(Buffer&& other) noexcept {
        if (this == &other) return *this;
        release();
        swap(other);
        return *this;
    }
    ~Buffer() { release(); }

    explicit operator bool() const { return data_ != nullptr; }
    /// Where the next bytes go: at least one, unless it is full. Once bytes have filled all of it, it grows.
    char* free_space();
    /// How many of them fit there; to be asked behind free_space().
    std::size_t free_bytes() const { return capacity_ - used_; }
    /// It holds all that it may.
    bool is_full() const { return used_ == max_; }
    /// Lets a full one grow to the largest size after all; false: it has that.
    bool raise_max();
    std::size_t capacity() const { return capacity_; }
    std::string_view view() const { return {data_.get(), used_}; }
    /// So many bytes were written to its free space.
    void add(std::size_t bytes) {
        used_ += bytes;
        was_filled_ = used_ == capacity_;
    }
    /// Appends what fits, growing for it, and says how much that was.
    std::size_t append(std::string_view bytes);
    void drop_front(std::size_t bytes) {
        used_ -= bytes;
        if (used_ > 0) std::memmove(data_.get(), data_.get() + bytes, used_);
    }
    void release();

private:
    friend class BufferPool;
    Buffer(BufferPool& pool, std::size_t capacity, std::size_t max);

    void grow_to(std::size_t capacity);
    void swap(Buffer& other) noexcept {
        std::swap(pool_, other.pool_);
        std::swap(data_, other.data_);
        std::swap(used_, other.used_);
        std::swap(capacity_, other.capacity_);
        std::swap(max_, other.max_);
        std::swap(was_filled_, other.was_filled_);
    }

    BufferPool* pool_ = nullptr;
    std::unique_ptr<char[]> data_;
    std::size_t used_ = 0, capacity_ = 0, max_ = 0;
    bool was_filled_ = false;  // by the bytes that came last: more are to be expected at once
};

/// Must outlive its buffers, and all that is charged to its account: connections, heads.
class BufferPool {
public:
    static constexpr std::size_t kSize = std::size_t{64} * 1024;  // the largest body there is
    static constexpr std::size_t kSmall = std::size_t{4} * 1024;

    explicit BufferPool(std::size_t memory_mb) : account_(memory_mb) {}
    void set_limit(std::size_t memory_mb) {
        account_.set_limit(memory_mb);
        if (free_.size() > max_free()) free_.resize(max_free());
    }
    MemoryAccount& account() { return account_; }
    const MemoryAccount& account() const { return account_; }
    /// What the process may hold in all.
    std::size_t memory_mb() const { return account_.limit() >> 20; }

    /// For bytes of a length that is not known yet.
    Buffer take() { return {*this, kSmall, kSize}; }
    /// For what passes through at the speed of the slower side: large, unless memory is tight.
    Buffer take_for_stream() {
        std::size_t capacity = account_.is_tight() ? kSmall : kSize;
        return {*this, capacity, capacity};
    }

private:
    friend class Buffer;
    static constexpr std::array<std::size_t, 3> kCapacities{kSmall, std::size_t{16} * 1024, kSize};

    static std::size_t capacity_for(std::size_t bytes) {
        return *std::find_if(kCapacities.begin(), kCapacities.end(),
                             [bytes](std::size_t c) { return c >= std::min(bytes, kSize); });
    }
    std::size_t max_free() const { return account_.parts(MemoryAccount::kFreeBuffersParts) / kSize; }
    std::unique_ptr<char[]> allocate(std::size_t capacity) {
        account_.charge(MemoryAccount::Kind::Buffers, capacity);
        if (capacity < kSize || free_.empty())
            return std::unique_ptr<char[]>(new char[capacity]);  // not zeroed: not touched
        std::unique_ptr<char[]> data = std::move(free_.back());
        free_.pop_back();
        return data;
    }
    void give_back(std::unique_ptr<char[]> data, std::size_t capacity) {
        account_.release(MemoryAccount::Kind::Buffers, capacity);
        if (capacity == kSize && free_.size() < max_free()) free_.push_back(std::move(data));
    }

    MemoryAccount account_;
    std::vector<std::unique_ptr<char[]>> free_;
};

inline Buffer::Buffer(BufferPool& pool, std::size_t capacity, std::size_t max)
    : pool_(&pool), data_(pool.allocate(capacity)), capacity_(capacity), max_(max) {}

inline void Buffer::grow_to(std::size_t capacity) {
    capacity = std::min(capacity, max_);
    if (capacity <= capacity_) return;
    std::unique_ptr<char[]> larger = pool_->allocate(capacity);
    if (used_ > 0) std::memcpy(larger.get(), data_.get(), used_);
    pool_->give_back(std::move(data_), capacity_);
    data_ = std::move(larger);
    capacity_ = capacity;
}

inline bool Buffer::raise_max() {
    return std::exchange(max_, BufferPool::kSize) < BufferPool::kSize;
}

inline char* Buffer::free_space() {
    if (was_filled_ || used_ == capacity_) grow_to(BufferPool::capacity_for(capacity_ + 1));
    was_filled_ = false;
    return data_.get() + used_;
}

inline std::size_t Buffer::append(std::string_view bytes) {
    std::size_t taken = std::min(bytes.size(), max_ - used_);
    grow_to(BufferPool::capacity_for(used_ + taken));
    std::memcpy(data_.get() + used_, bytes.data(), taken);
    used_ += taken;
    return taken;
}

inline void Buffer::release() {
    if (data_) pool_->give_back(std::move(data_), capacity_);
    data_.reset();
    used_ = capacity_ = max_ = 0;
    was_filled_ = false;
}

}  // namespace ochrehub
