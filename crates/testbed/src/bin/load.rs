//! Load generator. Sends the requests of a plan to entries on loopback addresses and prints a
//! report.

use burdockcleat_testbed::flags::parse_load;
use burdockcleat_testbed::load::run_load;

fn main() -> eyre::Result<()> {
    let (settings, json) = parse_load(lexopt::Parser::from_env())?;
    let report = run_load(&settings)?;
    if json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}
