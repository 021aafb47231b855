// A keeper's commands: serving, and going through its folder.
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <exception>
#include <sstream>
#include <system_error>

#include "app/commands.h"
#include "app/keeper_config.h"
#include "app/machines.h"
#include "app/node_config.h"
#include "base/asio_scheduler.h"
#include "base/log.h"
#include "fleet/store/posix_files.h"

namespace ochrehub::app {

int serve_keeper(const std::string& path, KeeperBegins begins) {
    KeeperTold told = read_keeper_file(path);
    log_by(told.log);
    coordinator::StartMode begin = begins.anew   ? coordinator::StartMode::NewCluster
                                   : begins.join ? coordinator::StartMode::JoinCluster
                                   : begins.lost ? coordinator::StartMode::DataLost
                                                 : coordinator::StartMode::Resume;
    boost::asio::io_context io{1};
    AsioScheduler scheduler(io);
    int status = 0;
    try {
        coordinator::CoordinatorServer server(io, scheduler, process_settings(told, begin), machines);
        server.on_stopped = [&](coordinator::Error, const std::string&) {
            status = 1;
            io.stop();
        };
        boost::asio::signal_set stop(io, SIGTERM, SIGINT);
        stop.async_wait([&](boost::system::error_code error, int) {
            if (!error) io.stop();
        });
        server.start();
        std::ostringstream listen;
        listen << server.listen_address();
        log(LogLevel::Info, "keeper: serves",
            {{"number", told.keeper.number}, {"listen", listen.str()}, {"folder", told.keeper.folder}});
        io.run();
    } catch (const coordinator::DataDirectoryError& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "cannot serve: %s: %s\n", told.keeper.folder.c_str(), error.what());
        return 1;
    }
    return status;
}

int verify_keeper(const std::string& folder, const std::string& cluster) {
    try {
        if (access(folder.c_str(), R_OK | X_OK) != 0) throw std::system_error(errno, std::generic_category());
        store::PosixFiles files(folder);
        store::Log::Report report = store::Log::verify(files, {coordinator::storage_cluster_id(cluster)});
        std::fputs(report.text.c_str(), stdout);
        return report.data_lost ? 1 : 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "cannot read %s: %s\n", folder.c_str(), error.what());
        return 2;
    }
}

}  // namespace ochrehub::app
