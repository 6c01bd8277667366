// Runs every registered test. `-g GROUP` and `-n NAME` pick some, `-v` names them.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cstdlib>

int main(int argc, char **argv)
{
    // Property tests draw the same cases on every run.
    constexpr int kKeepIfSet = 0;
    setenv("RC_PARAMS", "seed=20261204 max_success=200", kKeepIfSet);
    // Libraries with caches of their own look like leaks to CppUTest.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
