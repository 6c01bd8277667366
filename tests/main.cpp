// Runs all registered tests. `-g GROUP` and `-n NAME` select tests, `-v` prints their names.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <glog/logging.h>

#include <cstdlib>

int main(int argc, char **argv)
{
    // A fixed seed makes property tests check the same cases in every run.
    constexpr int kKeepIfSet = 0;
    setenv("RC_PARAMS", "seed=20261204 max_success=200", kKeepIfSet);
    // Tests check behaviour and not log lines, which would only clutter their output.
    FLAGS_minloglevel = google::GLOG_FATAL;
    // CppUTest reports the caches of libraries as memory leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
