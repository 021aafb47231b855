// The storage of the records of one kind, as a migration uses it: groups by name in shards, each as bytes
// with a version. Implemented by the holder of the shards. The caller holds the shard's lock in all calls. A
// write is atomic, and stored by primary and backup before it returns (or before the response is sent, if the
// caller waits for that).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ochrehub::schema_migration {

class Records {
public:
    enum class WriteResult : std::uint8_t {
        Done,
        Changed,  ///< the stored version is another one
        Full,     ///< the capacity is exceeded; nothing was changed
    };
    struct StoredGroup {
        std::string bytes;
        std::uint64_t version = 0;  ///< rises with each write; zero: there is no group
    };
    using Page = std::vector<std::pair<std::string, StoredGroup>>;

    virtual ~Records() = default;
    virtual StoredGroup read(std::uint32_t shard, std::string_view group) const = 0;
    /// Compares the version and swaps. Empty bytes erase the group.
    virtual WriteResult write(std::uint32_t shard, std::string_view group, std::uint64_t version,
                              std::string bytes) = 0;
    /// Appends at most `most` groups with names after `after`, in order of name.
    virtual void scan(std::uint32_t shard, std::string_view after, std::size_t most, Page& page) const = 0;
    /// The shard's migration state, which is stored as durably as its groups.
    virtual std::string state(std::uint32_t shard) const = 0;
    virtual bool set_state(std::uint32_t shard, std::string bytes) = 0;  ///< false: capacity exceeded
};

/// In memory, with a limit for each shard. For tests and the lab.
class MemoryRecords : public Records {
public:
    explicit MemoryRecords(std::size_t most = ~std::size_t(0)) : max_bytes_(most) {}

    StoredGroup read(std::uint32_t shard, std::string_view group) const override {
        auto s = shards_.find(shard);
        if (s == shards_.end()) return {};
        auto found = s->second.groups.find(group);
        return found == s->second.groups.end() ? StoredGroup() : found->second;
    }
    WriteResult write(std::uint32_t shard, std::string_view group, std::uint64_t version,
                      std::string bytes) override {
        Shard& s = shards_[shard];
        auto found = s.groups.find(group);
        bool there = found != s.groups.end();
        if ((there ? found->second.version : 0) != version) return WriteResult::Changed;
        std::size_t before = there ? found->second.bytes.size() : 0;
        if (bytes.size() > before && s.bytes - before + bytes.size() > max_bytes_) return WriteResult::Full;
        s.bytes += bytes.size() - before;
        if (bytes.empty()) {
            if (there) s.groups.erase(found);
        } else {
            if (!there) found = s.groups.emplace(group, StoredGroup()).first;
            found->second = {std::move(bytes), ++s.versions};
        }
        return WriteResult::Done;
    }
    void scan(std::uint32_t shard, std::string_view after, std::size_t most, Page& page) const override {
        auto s = shards_.find(shard);
        if (s == shards_.end()) return;
        for (auto it = s->second.groups.upper_bound(after); it != s->second.groups.end() && most;
             ++it, --most)
            page.push_back(*it);
    }
    std::string state(std::uint32_t shard) const override {
        auto s = shards_.find(shard);
        return s == shards_.end() ? std::string() : s->second.state;
    }
    bool set_state(std::uint32_t shard, std::string bytes) override {
        shards_[shard].state = std::move(bytes);
        return true;
    }
    void set_max_bytes(std::size_t max_bytes) { max_bytes_ = max_bytes; }
    std::size_t bytes(std::uint32_t shard) const {
        auto s = shards_.find(shard);
        return s == shards_.end() ? 0 : s->second.bytes;
    }

private:
    struct Shard {
        std::map<std::string, StoredGroup, std::less<>> groups;
        std::string state;
        std::size_t bytes = 0;
        std::uint64_t versions = 0;  ///< of the shard, so that a version is never reused after an erase
    };
    std::map<std::uint32_t, Shard> shards_;
    std::size_t max_bytes_;
};

}  // namespace ochrehub::schema_migration
