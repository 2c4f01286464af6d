# Libraries from Debian packages: deploy/system.toml lists those of the program,
# scripts/install-packages also those of the tests. What only tests use is looked for
# only with the tests; a clean machine does not have it.

# FindOpenSSL would ask pkg-config where it happens to be installed.
set(PKG_CONFIG_EXECUTABLE "")

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED COMPONENTS Crypto)
find_package(ZLIB REQUIRED)
find_package(Boost REQUIRED)
find_package(nlohmann_json REQUIRED)
if(SAPPHIREMOOR_TESTS)
  find_package(doctest REQUIRED)
  find_package(rapidcheck REQUIRED)
  include(doctest)
endif()

find_library(EVENT_CORE_LIBRARY event_core REQUIRED)
find_library(EVENT_EXTRA_LIBRARY event_extra REQUIRED)
add_library(libevent INTERFACE)
target_link_libraries(libevent INTERFACE ${EVENT_EXTRA_LIBRARY} ${EVENT_CORE_LIBRARY})

# easylogging++ is distributed as one source file beside its header.
find_file(EASYLOGGING_SOURCE easylogging++.cc PATHS /usr/include REQUIRED)
add_library(easylogging STATIC ${EASYLOGGING_SOURCE})
target_compile_definitions(easylogging PUBLIC ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE)
target_link_libraries(easylogging PUBLIC Threads::Threads)
