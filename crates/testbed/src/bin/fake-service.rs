//! Runs a fake plain service until SIGINT or SIGTERM. Prints its name and address as one line of
//! JSON.

use burdockcleat_testbed::flags::parse_service;
use burdockcleat_testbed::service::FakeService;
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

fn main() -> eyre::Result<()> {
    let settings = parse_service(lexopt::Parser::from_env())?;
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let name = settings.target.name.clone();
    let mut service = FakeService::spawn(settings)?;
    println!("{}", json!({ "name": name, "address": service.address().to_string() }));
    signals.forever().next();
    service.leave();
    service.wait_idle();
    service.stop();
    Ok(())
}
