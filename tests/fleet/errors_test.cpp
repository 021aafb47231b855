// docs/errors.md agrees with the code: each module's errors, in their order, and no others; and a test of the
// module names each of them.
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

struct Module {
    std::string prefix;  ///< of its codes
    std::string folder;  ///< under src/fleet
    std::vector<NamedRow> rows;
};
/// `folder`: where it is not the prefix.
template <class E>
Module module_of(const std::string& prefix, const std::string& folder = "") {
    auto all = rows_of<E>();
    Module made{prefix, folder.empty() ? prefix : folder, {all.begin(), all.end()}};
    std::erase_if(made.rows, [](const NamedRow& one) { return one.name == "None"; });
    return made;
}
/// Each module that has errors.
const std::vector<Module> kModules{
    module_of<channel::Error>("channel"),
    module_of<schema::Error>("schema"),
    module_of<raft::Error>("raft"),
    module_of<coordinator::Error>("keeper", "coordinator"),
    module_of<leadership::Error>("duty", "leadership"),
    module_of<leadership::endpoint_list::Error>("list", "leadership"),
    module_of<shards::Error>("shards"),
    module_of<config_distribution::Error>("agreement", "config_distribution"),
    module_of<quota::Error>("quota"),
    module_of<schema_migration::Error>("migration", "schema_migration"),
};

std::string contents(const std::filesystem::path& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}
const std::filesystem::path kSource = OCHREHUB_SOURCE;

TEST(Errors, PageAgreesWithTheCode) {
    std::string wanted;
    for (const Module& one : kModules) {
        wanted += "## " + one.prefix +
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
    EXPECT_EQ(page.substr(from) + "\n", wanted) << "From its first module on docs/errors.md must be:\n\n"
                                                << wanted;
}

TEST(Errors, EachHasAUniqueCodeAndARemedy) {
    std::set<std::string_view> codes;
    for (const Module& one : kModules) {
        EXPECT_FALSE(one.rows.empty()) << one.prefix;
        for (const auto& [name, row] : one.rows) {
            EXPECT_TRUE(codes.insert(row.code).second) << row.code;
            EXPECT_TRUE(row.code.starts_with(one.prefix + ".")) << row.code;
            EXPECT_EQ(row.code.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-."),
                      std::string_view::npos)
                << row.code;
            EXPECT_FALSE(row.what.empty() || row.operators.empty()) << row.code;
            EXPECT_EQ(row.what.find('|'), std::string_view::npos);
            EXPECT_EQ(row.operators.find('|'), std::string_view::npos);
        }
    }
}

// Shows that no error is left out, not what the test does with it. The test of schema_migration collects the
// codes that it has caused and requires each of them at its end.
TEST(Errors, EachIsNamedByATestOfItsModule) {
    std::map<std::string, std::string> texts;  // of tests, by module's prefix
    for (const char* folder : {"tests", "lab"})
        for (const auto& file : std::filesystem::recursive_directory_iterator(kSource / folder)) {
            if (file.path().extension() != ".cpp" || file.path().filename() == "errors_test.cpp") continue;
            std::string text = contents(file.path());
            for (const Module& one : kModules)
                if (text.find("fleet/" + one.folder + "/") != std::string::npos) texts[one.prefix] += text;
        }
    for (const Module& one : kModules)
        for (const auto& [name, row] : one.rows) {
            const std::string& text = texts[one.prefix];
            bool named = text.find("Error::" + std::string(name)) != std::string::npos ||
                         text.find('"' + std::string(row.code)) != std::string::npos ||
                         one.prefix == "migration";
            EXPECT_TRUE(named) << row.code << " is named by no test";
        }
}

enum class Sample { First, Second, Third };
const ErrorRow& row(Sample) {
    static constexpr ErrorRow kRow{"sample.row", "happened", false, "nothing"};
    return kRow;
}
TEST(Errors, AreEnumeratedAtCompileTime) {
    static_assert(kErrorsOf<Sample> == 3 &&
                  kErrorsOf<channel::Error> == std::size_t(channel::Error::Unreachable) + 1);
    auto rows = rows_of<Sample>();
    EXPECT_EQ(rows[1].name, "Second");
    EXPECT_EQ(
        sentence(Failure<channel::Error>{channel::Error::Cluster, "127.0.0.1:4000"}),
        "channel.cluster: 127.0.0.1:4000: the peer belongs to another cluster; correct the address, or the "
        "cluster's name in the settings of one of the two");
}

}  // namespace
}  // namespace ochrehub::fleet
