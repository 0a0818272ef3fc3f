// Entry point of the test binary; every other file of this folder holds stories.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
