#ifndef SAPPHIREMOOR_FRAMEWORK_CORE_CRASHREPORT_H
#define SAPPHIREMOOR_FRAMEWORK_CORE_CRASHREPORT_H

namespace sapphiremoor {

/// Makes a fatal signal (a memory fault, an illegal instruction, an abort)
/// write its number, the faulting address and a backtrace to standard error
/// before the process ends by that signal. Call it once, before other threads
/// are started.
///
/// The backtrace has one line for each call, with the file and the offset in
/// it, which addr2line translates to a source line.
void installCrashReport();

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_CORE_CRASHREPORT_H
