//! The operators' command line.

fn main() -> std::process::ExitCode {
    fl_ctl::command_line::main()
}
