//! Parsers for command line flags and environment variables.

use std::fmt::Display;
use std::process::ExitCode;
use std::str::FromStr;

use bpaf::Args;
use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::long;
use snafu::Snafu;

use crate::start::EXIT_BAD_SETTING;

/// A flag or environment variable with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("--{flag} = {value}: {reason}"))]
pub struct SettingError {
    /// Name of the flag, without its dashes.
    pub flag: &'static str,
    /// Invalid value.
    pub value: String,
    /// Why the value is invalid.
    pub reason: String,
}

/// Parses the arguments of this process. Prints the help text or the error if there is no result.
///
/// # Errors
///
/// Returns the exit code of the process: 0 after the help text, 2 after an invalid flag or variable.
pub fn parse_args<T>(parser: &OptionParser<T>) -> Result<T, ExitCode> {
    parser.run_inner(Args::current_args()).map_err(|failure| {
        failure.print_message(100);
        ExitCode::from(if failure.exit_code() == 0 {
            0
        } else {
            EXIT_BAD_SETTING
        })
    })
}

/// Returns a parser of one setting, read from its flag or, without the flag, from its environment variable.
///
/// The error for an invalid value names the flag and the value, which bpaf's own error does not.
#[must_use]
pub fn setting_parser<T>(
    flag: &'static str,
    env: &'static str,
    kind: &'static str,
    help: &'static str,
) -> impl Parser<T>
where
    T: FromStr + 'static,
    T::Err: Display,
{
    long(flag)
        .env(env)
        .help(help)
        .argument::<String>(kind)
        .parse(move |text| {
            text.parse()
                .map_err(|e: T::Err| format!("--{flag} = {text}: {e}"))
        })
}

/// Returns a parser of a switch, set by its flag or by `1` or `true` in its environment variable.
///
/// bpaf alone treats any value of the variable as set, including `0` and `false`.
#[must_use]
pub fn switch_parser(
    flag: &'static str,
    env: &'static str,
    help: &'static str,
) -> impl Parser<bool> {
    let text = format!("{help} [env:{env}=1]");
    long(flag)
        .help(text.as_str())
        .switch()
        .map(move |on| on || std::env::var(env).is_ok_and(|v| v == "1" || v == "true"))
}
