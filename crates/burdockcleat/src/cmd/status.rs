//! `status`: shows the state of the deployment.

use super::{Arguments, CommandError, CommandSpec, write_json};
use crate::operator::StatusReply;
use std::io::{self, Write};

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "status",
    summary: "show control instances, entries, pools, targets and orders",
    help: "\
Shows the configuration version in force, control instances, entries, pools, targets and orders.

Usage: burdockcleat status [OPTIONS]

  --control URLS   control instances, separated by commas (default: BURDOCKCLEAT_CONTROL)
  --token TOKEN    token of operators (default: BURDOCKCLEAT_OPERATOR_TOKEN, which other users of
                   the machine cannot see)
  --timeout SECS   longest wait for a reply, 1 to 600 (default 10)
  --json           print the reply of the control instance instead of text

Exit status: 0 shown, 1 refused, 2 wrong usage, 3 no leading control instance in reach.
",
    positionals: &[],
    options: &["control", "token", "timeout", "json"],
    run,
};

fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<(), CommandError> {
    let status = arguments.client()?.status()?;
    if arguments.json() {
        return write_json(out, &status);
    }
    Ok(write_status(&status, out)?)
}

/// Writes the status as text, one line per item.
fn write_status(status: &StatusReply, out: &mut dyn Write) -> io::Result<()> {
    let role = if status.leading { "leads" } else { "does not lead" };
    let (instance, term) = (&status.instance, status.term);
    writeln!(out, "{instance} {role} in term {term}; configuration {}", status.config_version)?;
    for member in &status.members {
        let (node, address, role) = (&member.node, &member.address, &member.role);
        writeln!(out, "control  {node}  {address}  {role}  log {}", member.stored_index)?;
    }
    for entry in &status.entries {
        let state = if entry.draining { "draining" } else { "open" };
        let (name, version, running) = (&entry.name, entry.config_version, entry.running);
        let silent = entry.silent_ms;
        writeln!(
            out,
            "entry    {name}  {state}  configuration {version}  {running} running  heard {silent} ms ago"
        )?;
    }
    for pool in &status.pools {
        let (name, targets) = (&pool.name, pool.targets);
        let (waiting, running) = (pool.waiting, pool.running);
        writeln!(out, "pool     {name}  {targets} targets  {waiting} waiting  {running} running")?;
    }
    for target in &status.targets {
        let (name, pool, state) = (&target.name, &target.pool, &target.state);
        let (running, slots, models) = (target.running, target.slots, target.models.join(","));
        writeln!(out, "target   {name}  {pool}  {state}  {running}/{slots} running  {models}")?;
    }
    for order in &status.orders {
        let (target, model, id) = (&order.target, &order.model, &order.operation_id);
        writeln!(out, "order    {target}  {model}  {:?}  {id}  {}", order.state, order.message)?;
    }
    Ok(())
}
