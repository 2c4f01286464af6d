option(SAPPHIREMOOR_FUZZ "Build the libFuzzer targets (needs clang)" OFF)

add_library(project_options INTERFACE)
target_include_directories(project_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_compile_options(project_options INTERFACE -Wall -Wextra -Wpedantic -Wconversion -Wsign-conversion)
# Compilers differ in what they warn of, so a warning ends only the builds of developers.
if(SAPPHIREMOOR_TESTS)
  target_compile_options(project_options INTERFACE -Werror)
endif()

# sapphiremoor_module(NAME SOURCES file... [DEPENDS target...])
# Adds the static library NAME. A module without sources becomes a header-only library.
function(sapphiremoor_module Name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  if(ARG_SOURCES)
    add_library(${Name} STATIC ${ARG_SOURCES})
    target_link_libraries(${Name} PUBLIC project_options ${ARG_DEPENDS})
  else()
    add_library(${Name} INTERFACE)
    target_link_libraries(${Name} INTERFACE project_options ${ARG_DEPENDS})
  endif()
endfunction()

# sapphiremoor_test(NAME SOURCES file... [DEPENDS target...] [DEFINITIONS name=value...])
# Adds the doctest executable NAME and registers each of its cases with CTest as "NAME/case".
# Does nothing without the option SAPPHIREMOOR_TESTS.
function(sapphiremoor_test Name)
  if(NOT SAPPHIREMOOR_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;DEFINITIONS" ${ARGN})
  add_executable(${Name} ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/tests/doctestmain.cpp)
  target_link_libraries(${Name} PRIVATE project_options doctest::doctest ${ARG_DEPENDS})
  target_compile_definitions(${Name} PRIVATE ${ARG_DEFINITIONS})
  doctest_discover_tests(${Name} TEST_PREFIX "${Name}/" PROPERTIES TIMEOUT 300)
endfunction()

# sapphiremoor_embed(TARGET file.json VARIABLE)
# Embeds a text file as `extern const char *const VARIABLE` in the namespace sapphiremoor::charts.
function(sapphiremoor_embed Target File Variable)
  file(READ ${File} EMBEDDED_TEXT)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${File})
  set(EMBEDDED_NAME ${Variable})
  set(Output ${CMAKE_CURRENT_BINARY_DIR}/${Variable}.cpp)
  configure_file(${CMAKE_SOURCE_DIR}/cmake/embedded.cpp.in ${Output} @ONLY)
  target_sources(${Target} PRIVATE ${Output})
endfunction()
