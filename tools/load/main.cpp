// Open-loop load on running VMs from a TOML profile; prints what callers saw.
#include "loadrun.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(profile, "", "TOML profile of the load");
DEFINE_string(csv, "", "write one line a request to this file");
DEFINE_bool(json, false, "print the summary as JSON");
DEFINE_bool(progress, true, "print a progress line each second");

int main(int argc, char **argv)
{
    using namespace arbutuspier::load;
    gflags::SetUsageMessage("load --profile FILE: open-loop load on entry VMs");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    constexpr int kBadProfile = 2;
    const auto profile = loadProfile(FLAGS_profile);
    if (!profile) {
        std::cerr << profile.error().message << '\n';
        return kBadProfile;
    }
    LoadRun run(*profile, FLAGS_progress && !FLAGS_json);
    run.run();
    if (!FLAGS_csv.empty())
        run.writeCsv(FLAGS_csv);
    std::cout << (FLAGS_json ? run.summaryJson() : run.summaryTable());
    return 0;
}
