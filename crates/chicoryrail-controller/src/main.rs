//! The process that holds shards: places slices, grants, hands off, witnesses.

use std::process::ExitCode;

use chicoryrail_controller::Settings;
use chicoryrail_core::ResultCode;

fn main() -> ExitCode {
    let settings = Settings::parser().run();
    chicoryrail_runtime::init_logs();
    match chicoryrail_runtime::block_on(chicoryrail_controller::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => chicoryrail_runtime::exit_with(ResultCode::SettingInvalid, &e.to_string()),
    }
}
