//! Entry point of filbertctl, the command line tool for operators.

fn main() -> std::process::ExitCode {
    fl_ctl::command_line::main()
}
