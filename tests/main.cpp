// Entry point of the test binary.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
