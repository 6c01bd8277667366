// Runs every registered test. `-g GROUP` and `-n NAME` pick some, `-v` names them.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <glog/logging.h>

#include <cstdlib>

int main(int argc, char **argv)
{
    // Property tests draw the same cases on every run.
    constexpr int kKeepIfSet = 0;
    setenv("RC_PARAMS", "seed=20261204 max_success=200", kKeepIfSet);
    // The parts log what they decide; the tests look at what they do.
    FLAGS_minloglevel = google::GLOG_FATAL;
    // Libraries with caches of their own look like leaks to CppUTest.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
