// The records of a holder in an append-only file: each write is appended before its response, so that a
// killed process finds them again. A node's history of writes, which the history checker reads, is such a
// file too.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <cstring>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <utility>

#include "fleet/schema_migration/records.h"

namespace ochrehub::lab::migration {

/// Appends whole lines or records, each in one write(2), so that SIGKILL leaves no partial ones.
class Appender {
public:
    explicit Appender(const std::string& path)
        : file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)) {}
    ~Appender() {
        if (file_ >= 0) ::close(file_);
    }
    Appender(const Appender&) = delete;
    bool add(const std::string& bytes) {
        return file_ >= 0 && ::write(file_, bytes.data(), bytes.size()) == ssize_t(bytes.size());
    }

private:
    int file_;
};

class FileRecords : public schema_migration::Records {
public:
    explicit FileRecords(const std::string& path, bool writes = true) {
        std::ifstream in(path, std::ios::binary);
        std::string all{std::istreambuf_iterator<char>(in), {}};
        for (std::size_t at = 0; at + 16 <= all.size();) {
            std::uint32_t head[4];
            std::memcpy(head, all.data() + at, 16);
            if (at + 16 + head[2] + head[3] > all.size()) break;
            std::string group = all.substr(at + 16, head[2]), bytes = all.substr(at + 16 + head[2], head[3]);
            at += 16 + head[2] + head[3];
            if (head[0] == kState)
                memory_.set_state(head[1], std::move(bytes));
            else
                memory_.write(head[1], group, memory_.read(head[1], group).version, std::move(bytes));
            any_ = true;
        }
        if (writes) file_ = std::make_unique<Appender>(path);
    }
    bool any() const { return any_; }

    StoredGroup read(std::uint32_t shard, std::string_view group) const override {
        return memory_.read(shard, group);
    }
    WriteResult write(std::uint32_t shard, std::string_view group, std::uint64_t version,
                      std::string bytes) override {
        std::string record = framed(kGroup, shard, group, bytes);
        WriteResult wrote = memory_.write(shard, group, version, std::move(bytes));
        if (wrote == WriteResult::Done && !file_->add(record)) _exit(3);
        return wrote;
    }
    void scan(std::uint32_t shard, std::string_view after, std::size_t most, Page& page) const override {
        memory_.scan(shard, after, most, page);
    }
    std::string state(std::uint32_t shard) const override { return memory_.state(shard); }
    bool set_state(std::uint32_t shard, std::string bytes) override {
        if (!file_->add(framed(kState, shard, {}, bytes))) _exit(3);
        return memory_.set_state(shard, std::move(bytes));
    }

private:
    static constexpr std::uint32_t kGroup = 1, kState = 2;
    static std::string framed(std::uint32_t kind, std::uint32_t shard, std::string_view group,
                              const std::string& bytes) {
        std::uint32_t head[4] = {kind, shard, std::uint32_t(group.size()), std::uint32_t(bytes.size())};
        return std::string(reinterpret_cast<const char*>(head), 16).append(group).append(bytes);
    }
    schema_migration::MemoryRecords memory_;
    std::unique_ptr<Appender> file_;
    bool any_ = false;
};

}  // namespace ochrehub::lab::migration
