// Tables that read the decision core's settings from the project's own configuration files. decode.h reads
// the settings that the platform provides.
#pragma once

#include <string>

#include "config/table.h"
#include "ochrehub/balancer.h"

namespace ochrehub {

struct NamedClass {
    std::string name;
    ClassSettings settings;
};
struct NamedTenant {
    std::string name;
    TenantSettings settings;
};

config::Table<NamedClass> class_settings();
config::Table<NamedTenant> tenant_settings();
// Each of these fills in a part of Settings.
config::Table<Settings> limit_settings();
config::Table<Settings> safety_settings();
config::Table<Settings> price_settings();
config::Table<Settings> health_settings();

}  // namespace ochrehub
