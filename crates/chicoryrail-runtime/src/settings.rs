//! Settings that every process of a host has.

use std::fmt::Display;
use std::process::ExitCode;
use std::str::FromStr;

use bpaf::Args;
use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::long;
use snafu::Snafu;

use crate::start::BAD_SETTING;

/// A flag or environment variable with an unusable value.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("--{flag} = {value}: {reason}"))]
pub struct SettingError {
    /// Flag without its dashes.
    pub flag: &'static str,
    /// Value found.
    pub value: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Parses the process's own arguments, or prints help or what is wrong with them.
///
/// # Errors
///
/// Returns the code with which the process is to end: 0 after help, 2 after a bad flag or variable.
pub fn from_args<T>(parser: &OptionParser<T>) -> Result<T, ExitCode> {
    parser.run_inner(Args::current_args()).map_err(|failure| {
        failure.print_message(100);
        ExitCode::from(if failure.exit_code() == 0 {
            0
        } else {
            BAD_SETTING
        })
    })
}

/// Parses one setting from its flag or, where that is missing, its environment variable.
///
/// An unusable value is reported with the flag and the value, which the command line library does
/// not do by itself.
#[must_use]
pub fn setting<T>(
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

/// Parses a switch that stands as a flag, or is `1` or `true` in the environment variable.
///
/// The command line library alone takes any value of the variable for yes, `0` and `false` too.
#[must_use]
pub fn switch_setting(
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
