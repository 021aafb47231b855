// docs/errors.md is what the code says: each room's errors, in its order, and no other; and each is named by
// a test.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "fleet/channel/channel.h"
#include "fleet/config_distribution/error.h"
#include "fleet/coordinator/error.h"
#include "fleet/error/rows.h"
#include "fleet/leadership/endpoint_list.h"
#include "fleet/leadership/error.h"
#include "fleet/quota/budget.h"
#include "fleet/raft/raft.h"
#include "fleet/schema/schema.h"
#include "fleet/schema_migration/error.h"
#include "fleet/shards/error.h"

namespace ochrehub::fleet {
namespace {

struct Room {
    std::string name, folder;
    std::vector<NamedRow> rows;
};
/// `folder`: where it stands, where that is not its name.
template <class E>
Room room(const std::string& name, const std::string& folder = "") {
    auto all = rows_of<E>();
    Room made{name, folder.empty() ? name : folder, {all.begin(), all.end()}};
    std::erase_if(made.rows, [](const NamedRow& one) { return one.name == "None"; });
    return made;
}
/// A room that has errors is a line here.
const std::vector<Room> kRooms{
    room<channel::Error>("channel"),
    room<schema::Error>("schema"),
    room<raft::Error>("raft"),
    room<coordinator::Error>("keeper", "coordinator"),
    room<leadership::Error>("duty", "leadership"),
    room<leadership::endpoint_list::Error>("list", "leadership"),
    room<shards::Error>("shards"),
    room<config_distribution::Error>("agreement", "config_distribution"),
    room<quota::Error>("quota"),
    room<schema_migration::Error>("migration", "schema_migration"),
};

std::string contents(const std::filesystem::path& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}
const std::filesystem::path kSource = OCHREHUB_SOURCE;

TEST(Errors, TheTableIsWhatTheCodeSays) {
    std::string wanted;
    for (const Room& one : kRooms) {
        wanted += "## " + one.name +
                  "\n\n| code | what happened | passes by itself | what an operator can do |\n| --- | --- | "
                  "--- | --- |\n";
        for (const auto& [name, row] : one.rows)
            wanted += "| `" + std::string(row.code) + "` | " + std::string(row.what) + " | " +
                      (row.passes ? "yes" : "no") + " | " + std::string(row.operators) + " |\n";
        wanted += "\n";
    }
    std::string page = contents(kSource / "docs/errors.md");
    std::size_t from = page.find("## ");
    ASSERT_NE(from, std::string::npos);
    EXPECT_EQ(page.substr(from) + "\n", wanted) << "From its first room on docs/errors.md must be:\n\n"
                                                << wanted;
}

TEST(Errors, EachHasACodeOfItsOwnAndSaysWhatToDo) {
    std::set<std::string_view> codes;
    for (const Room& one : kRooms) {
        EXPECT_FALSE(one.rows.empty()) << one.name;
        for (const auto& [name, row] : one.rows) {
            EXPECT_TRUE(codes.insert(row.code).second) << row.code;
            EXPECT_TRUE(row.code.starts_with(one.name + ".")) << row.code;
            EXPECT_EQ(row.code.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-."),
                      std::string_view::npos)
                << row.code;
            EXPECT_FALSE(row.what.empty() || row.operators.empty()) << row.code;
            EXPECT_EQ(row.what.find('|'), std::string_view::npos);
            EXPECT_EQ(row.operators.find('|'), std::string_view::npos);
        }
    }
}

// It says nothing of what the test does with it; that no error is left out it does. Migration's own test
// collects the codes of what it has caused, and asks for each of them at its end.
TEST(Errors, EachIsNamedByATestOfItsRoom) {
    std::map<std::string, std::string> texts;  // of tests, by room
    for (const char* folder : {"tests", "lab"})
        for (const auto& file : std::filesystem::recursive_directory_iterator(kSource / folder)) {
            if (file.path().extension() != ".cpp" || file.path().filename() == "errors_test.cpp") continue;
            std::string text = contents(file.path());
            for (const Room& one : kRooms)
                if (text.find("fleet/" + one.folder + "/") != std::string::npos) texts[one.name] += text;
        }
    for (const Room& one : kRooms)
        for (const auto& [name, row] : one.rows) {
            const std::string& text = texts[one.name];
            bool named = text.find("Error::" + std::string(name)) != std::string::npos ||
                         text.find('"' + std::string(row.code)) != std::string::npos ||
                         one.name == "migration";
            EXPECT_TRUE(named) << row.code << " is caused by no test";
        }
}

enum class Sample { First, Second, Third };
const ErrorRow& row(Sample) {
    static constexpr ErrorRow kRow{"sample.row", "happened", false, "nothing"};
    return kRow;
}
TEST(Errors, AreCountedByTheCompiler) {
    static_assert(kErrorsOf<Sample> == 3 &&
                  kErrorsOf<channel::Error> == std::size_t(channel::Error::Unreachable) + 1);
    auto rows = rows_of<Sample>();
    EXPECT_EQ(rows[1].name, "Second");
    EXPECT_EQ(sentence(Failure<channel::Error>{channel::Error::Cluster, "127.0.0.1:4000"}),
              "channel.cluster: 127.0.0.1:4000: the other side belongs to another cluster; correct the "
              "address, or the cluster's name in "
              "the settings of one of the two");
}

}  // namespace
}  // namespace ochrehub::fleet
