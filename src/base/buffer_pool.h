// Buffers of one size, used again. One is taken only while a message is in hand.
#pragma once

#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace ochrehub {

class BufferPool;

/// Hands its memory back to the pool when it goes. Empty until taken from one.
class Buffer {
public:
    Buffer() = default;
    Buffer(Buffer&& other) noexcept
        : pool_(std::exchange(other.pool_, nullptr)),
          data_(std::move(other.data_)),
          used_(std::exchange(other.used_, 0)) {}
    Buffer& operator=(Buffer&& other) noexcept {
        if (this != &other) {
            release();
            pool_ = std::exchange(other.pool_, nullptr);
            data_ = std::move(other.data_);
            used_ = std::exchange(other.used_, 0);
        }
        return *this;
    }
    ~Buffer() { release(); }

    explicit operator bool() const { return data_ != nullptr; }
    char* free_space() { return data_.get() + used_; }
    std::size_t room() const;
    std::string_view view() const { return {data_.get(), used_}; }
    void grow(std::size_t bytes) { used_ += bytes; }
    /// Appends what fits and says how much that was.
    std::size_t append(std::string_view bytes);
    void drop_front(std::size_t bytes) {
        used_ -= bytes;
        if (used_ > 0) std::memmove(data_.get(), data_.get() + bytes, used_);
    }
    void release();

private:
    friend class BufferPool;
    Buffer(BufferPool& pool, std::unique_ptr<char[]> data) : pool_(&pool), data_(std::move(data)) {}

    BufferPool* pool_ = nullptr;
    std::unique_ptr<char[]> data_;
    std::size_t used_ = 0;
};

/// Must outlive its buffers.
class BufferPool {
public:
    static constexpr std::size_t kSize = std::size_t{64} * 1024;  // the largest body there is
    static constexpr std::size_t kPerMb = (std::size_t{1} << 20) / kSize;

    /// Of the memory that the process may hold, free buffers keep a sixteenth; six are the most to be in use
    /// before whoever can do without a further one should, and seven before streams wait. The rest is for all
    /// else, and for what the kernel holds of connections.
    explicit BufferPool(std::size_t memory_mb) { keep_to(memory_mb); }
    void keep_to(std::size_t memory_mb) {
        memory_mb_ = memory_mb;
        kept_ = memory_mb * kPerMb / 16;
        most_ = memory_mb * kPerMb * 6 / 16;
        dry_ = memory_mb * kPerMb * 7 / 16;
        if (free_.size() > kept_) free_.resize(kept_);
    }

    bool scarce() const { return out_ >= most_; }
    /// So much is in use that what can wait for a buffer must.
    bool dry() const { return out_ >= dry_; }
    /// What the process may hold in all.
    std::size_t memory_mb() const { return memory_mb_; }
    std::size_t bytes_in_use() const { return out_ * kSize; }
    Buffer take() {
        ++out_;
        if (free_.empty())
            return {*this, std::unique_ptr<char[]>(new char[kSize])};  // not zeroed: not touched
        Buffer buffer{*this, std::move(free_.back())};
        free_.pop_back();
        return buffer;
    }

private:
    friend class Buffer;
    std::size_t memory_mb_ = 0, kept_ = 0, most_ = 0, dry_ = 0, out_ = 0;
    std::vector<std::unique_ptr<char[]>> free_;
};

inline std::size_t Buffer::room() const {
    return BufferPool::kSize - used_;
}

inline std::size_t Buffer::append(std::string_view bytes) {
    std::size_t taken = bytes.copy(free_space(), room());
    used_ += taken;
    return taken;
}

inline void Buffer::release() {
    if (data_) --pool_->out_;
    if (data_ && pool_->free_.size() < pool_->kept_) pool_->free_.push_back(std::move(data_));
    data_.reset();
    used_ = 0;
}

}  // namespace ochrehub
