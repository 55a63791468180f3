//! Runs a fake engine until SIGINT or SIGTERM. Prints its name and address as one line of JSON.

use burdockcleat_testbed::engine::FakeEngine;
use burdockcleat_testbed::flags::parse_engine;
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

fn main() -> eyre::Result<()> {
    let settings = parse_engine(lexopt::Parser::from_env())?;
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let name = settings.target.name.clone();
    let mut engine = FakeEngine::spawn(settings)?;
    println!("{}", json!({ "name": name, "address": engine.address().to_string() }));
    signals.forever().next();
    engine.leave();
    engine.wait_idle();
    engine.stop();
    Ok(())
}
