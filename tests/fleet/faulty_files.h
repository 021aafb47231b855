// Files in memory for tests of the store: what was not synced is lost, kept or torn by a crash, and any one
// call can fail or crash. Single-threaded.
#pragma once

#include <cerrno>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet/store/files.h"

namespace ochrehub::store {

/// Thrown where the process is to crash.
struct SimulatedCrash {};

class FaultyFiles : public Files {
public:
    /// What becomes of bytes and names that are not synced.
    enum class Unsynced { Lost, Kept, Torn };

    Error lock() override { return 0; }
    Error list(std::vector<std::string>& names) override {
        if (Error error = count_call()) return error;
        names.clear();
        for (const auto& [name, file] : files_) names.push_back(name);
        return 0;
    }
    Error read(const std::string& name, std::string& bytes) override {
        if (Error error = count_call()) return error;
        auto found = files_.find(name);
        if (found == files_.end()) return ENOENT;
        bytes = found->second->bytes;
        return 0;
    }
    Error append(const std::string& name, std::string_view bytes) override {
        std::shared_ptr<File>& file = files_[name];
        if (!file) file = std::make_shared<File>();
        auto append_half = [&] { file->bytes += bytes.substr(0, bytes.size() / 2); };
        if (Error error = count_call(append_half)) return error;
        file->bytes += bytes;
        return 0;
    }
    Error sync(const std::string& name) override {
        if (Error error = count_call()) return error;
        files_[name]->synced_size = files_[name]->bytes.size();
        return 0;
    }
    Error rename(const std::string& from, const std::string& to) override {
        if (Error error = count_call()) return error;
        files_[to] = files_[from];
        files_.erase(from);
        return 0;
    }
    Error remove(const std::string& name) override {
        if (Error error = count_call()) return error;
        return files_.erase(name) ? 0 : ENOENT;
    }
    Error sync_names() override {
        if (Error error = count_call()) return error;
        durable_names_ = files_;
        return 0;
    }

    void crash(Unsynced unsynced, std::uint64_t seed) {
        std::mt19937_64 random(seed);
        // Names since the last sync: all of them, or none.
        bool names_lost = unsynced == Unsynced::Lost || (unsynced == Unsynced::Torn && random() % 2 == 0);
        if (names_lost) files_ = durable_names_;
        for (auto& [name, file] : files_) crash_file(*file, unsynced, random);
        durable_names_ = files_;
        calls = 0;
        fail_at = 0;
        crash_at = 0;
    }
    FaultyFiles copy() const {
        FaultyFiles copied;
        std::map<const File*, std::shared_ptr<File>> copies;
        auto copy_names = [&](const FilesByName& names) {
            FilesByName result;
            for (const auto& [name, file] : names) {
                std::shared_ptr<File>& copy = copies[file.get()];
                if (!copy) copy = std::make_shared<File>(*file);
                result[name] = copy;
            }
            return result;
        };
        copied.files_ = copy_names(files_);
        copied.durable_names_ = copy_names(durable_names_);
        return copied;
    }
    std::map<std::string, std::string> contents() const {
        std::map<std::string, std::string> contents;
        for (const auto& [name, file] : files_) contents[name] = file->bytes;
        return contents;
    }
    void put(const std::string& name, std::string bytes) {
        files_[name] = std::make_shared<File>();
        files_[name]->synced_size = bytes.size();
        files_[name]->bytes = std::move(bytes);
        durable_names_ = files_;
    }

    int calls = 0;     ///< so far
    int fail_at = 0;   ///< number of the call that fails, from 1 on; zero: none
    int crash_at = 0;  ///< number of the call that crashes, from 1 on; zero: none

private:
    struct File {
        std::string bytes;
        std::size_t synced_size = 0;
    };
    using FilesByName = std::map<std::string, std::shared_ptr<File>>;

    static void crash_file(File& file, Unsynced unsynced, std::mt19937_64& random) {
        std::size_t unsynced_size = file.bytes.size() - file.synced_size;
        std::size_t kept = 0;
        if (unsynced == Unsynced::Kept) kept = unsynced_size;
        if (unsynced == Unsynced::Torn) kept = random() % (unsynced_size + 1);
        file.bytes.resize(file.synced_size + kept);
        // Sectors reach a disk in any order.
        if (unsynced == Unsynced::Torn && kept > 4 && random() % 2 == 0)
            file.bytes[file.synced_size + random() % kept] ^= 0x55;
        file.synced_size = file.bytes.size();
    }

    /// `partial`: what the call has done already when it crashes or fails.
    Error count_call(const std::function<void()>& partial = nullptr) {
        ++calls;
        if (calls != crash_at && calls != fail_at) return 0;
        if (partial) partial();
        if (calls == crash_at) throw SimulatedCrash();
        return calls % 2 ? EIO : ENOSPC;
    }

    FilesByName files_;
    FilesByName durable_names_;  ///< as of the last sync_names()
};

}  // namespace ochrehub::store
