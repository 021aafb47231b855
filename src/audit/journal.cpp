#include "audit/journal.h"

#include <fcntl.h>
#include <pwd.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "base/log.h"

namespace ochrehub::audit {

config::Table<Told> settings() {
    return {config::flag({.name = "on", .fallback = "off", .help = "the switch"}, &Told::on),
            config::text({.name = "file", .help = "a path, appended to; without it standard error"},
                         &Told::file)};
}

Journal::Journal(const Told& told) {
    if (told.file.empty()) return;
    auto refuse = [&](const char* what) {
        std::string why = std::string("cannot be ") + what + ": " + std::strerror(errno);
        if (file_ >= 0) close(file_);
        throw std::runtime_error(why);
    };
    file_ = open(told.file.c_str(), O_RDWR | O_APPEND | O_CREAT | O_CLOEXEC, 0640);
    if (file_ < 0) refuse("opened");
    // Two processes' lines among each other would look tampered with.
    if (flock(file_, LOCK_EX | LOCK_NB) != 0) refuse("locked");
    struct stat is {};
    // What an earlier process left half written is ended by the first line of this one.
    char last = '\n';
    if (fstat(file_, &is) == 0 && S_ISREG(is.st_mode) && is.st_size > 0 &&
        pread(file_, &last, 1, is.st_size - 1) == 1 && last != '\n')
        torn_ = true;
}

Journal::~Journal() {
    if (file_ >= 0) close(file_);
}

void Journal::record(std::string_view event, std::string_view by, std::string_view detail) {
    auto now = std::chrono::system_clock::now().time_since_epoch();
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    std::string line(std::exchange(torn_, false) ? "\n" : "");
    if (file_ < 0) line.append(kPrefix).append(" ");
    line.append(chain_.next(std::uint64_t(ms), event, by, detail)).append("\n");
    write(line);
}

void Journal::write(std::string_view text) {
    std::size_t whole = text.size();
    while (!text.empty()) {
        ssize_t wrote = ::write(file_ < 0 ? STDERR_FILENO : file_, text.data(), text.size());
        if (wrote < 0 && errno == EINTR) continue;
        if (wrote < 0) {
            torn_ = text.size() < whole;
            return log_line(LogLevel::Error, "the audit lost a line: %s", std::strerror(errno));
        }
        text.remove_prefix(std::size_t(wrote));
    }
}

std::string user() {
    const passwd* known = getpwuid(getuid());
    return known ? known->pw_name : "uid:" + std::to_string(getuid());
}

}  // namespace ochrehub::audit
