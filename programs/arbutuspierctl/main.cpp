// arbutuspierctl, the command-line tool for operators of entry VMs.
#include "client.h"
#include "commands.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(admin, "127.0.0.1:8201", "admin address of an entry VM");
DEFINE_string(token, "",
              "admin token of the entry VM; if empty, the environment variable ARBUTUSPIER_TOKEN");
DEFINE_bool(json, false, "print JSON for scripts");
DEFINE_bool(wait, false, "limits accept: wait until the table is active on every reachable VM");
DEFINE_uint32(wait_seconds, 20, "limits accept --wait: give up after this many seconds");
DEFINE_string(editor, "", "limits accept: your name; if empty, the environment variable USER");

int main(int argc, char **argv)
{
    using namespace arbutuspier::ctl;
    gflags::SetUsageMessage(usageText());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Options options;
    options.isJson = FLAGS_json;
    options.waitsUntilActive = FLAGS_wait;
    options.waitSeconds = FLAGS_wait_seconds;
    options.editor = FLAGS_editor.empty() ? environmentVariable("USER", "operator") : FLAGS_editor;
    const std::string token =
        FLAGS_token.empty() ? environmentVariable("ARBUTUSPIER_TOKEN", "") : FLAGS_token;
    auto client = Client::make(FLAGS_admin, token);
    if (!client) {
        std::cerr << "arbutuspierctl: --admin: expected IP:port\n";
        return kExitUsage;
    }
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return runCommand(*client, options, arguments);
}
