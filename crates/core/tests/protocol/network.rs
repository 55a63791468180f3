//! Steps of the links and of time.

use crate::world::{Downward, World, node};
use burdockcleat_core::entry_agent::EntryInput;
use burdockcleat_core::keys::LinkKey;
use std::rc::Rc;

impl World {
    pub fn link_up(&mut self, entry: usize, control: usize) {
        let key = LinkKey(self.next_link);
        self.next_link += 1;
        let link = &mut self.links[entry][control];
        (link.key, link.up) = (key, true);
        self.step_entry(entry, EntryInput::LinkUp { link: key }, false);
    }

    /// Breaks a link. What the entry sent is lost, or read late by the control instance.
    pub fn link_down(&mut self, entry: usize, control: usize, lose: bool) {
        let link = &mut self.links[entry][control];
        link.up = false;
        link.downward.clear();
        let upward = std::mem::take(&mut link.upward);
        if !lose {
            link.late.extend(upward);
        }
        let key = link.key;
        if self.entries[entry].alive {
            self.step_entry(entry, EntryInput::LinkDown { link: key }, false);
        }
        if link_is_quiet(self, entry, control) {
            self.unlink(entry, control);
        }
    }

    fn unlink(&mut self, entry: usize, control: usize) {
        let time = self.time();
        if let Some(leader) = &mut self.controls[control].leader {
            Rc::make_mut(&mut leader.admission).entry_disconnected(time, node(entry));
        }
    }

    pub fn deliver_up(&mut self, entry: usize, control: usize) {
        for _ in 0..self.batch() {
            let Some(message) = self.links[entry][control].upward.pop_front() else { return };
            self.receive_control(control, entry, message);
        }
    }

    /// Messages that one delivery takes.
    fn batch(&self) -> usize {
        if self.setup.single_messages { 1 } else { usize::MAX }
    }

    pub fn deliver_late(&mut self, entry: usize, control: usize) {
        for _ in 0..self.batch() {
            let Some(message) = self.links[entry][control].late.pop_front() else { break };
            self.receive_control(control, entry, message);
        }
        if link_is_quiet(self, entry, control) {
            self.unlink(entry, control);
        }
    }

    pub fn deliver_down(&mut self, entry: usize, control: usize) {
        if self.entries[entry].frozen {
            return;
        }
        let batch = self.batch();
        let link = &mut self.links[entry][control];
        let key = link.key;
        let count = link.downward.len().min(batch);
        for Downward { message, dispatched } in link.downward.drain(..count).collect::<Vec<_>>() {
            self.step_entry(entry, EntryInput::Receive { link: key, message }, dispatched);
        }
    }

    pub fn advance(&mut self, ms: u64) {
        self.now += ms;
        for control in 0..2 {
            let time = self.time_of(control);
            if self.controls[control].deposed {
                continue;
            }
            self.announce(control);
            if let Some(leader) = &mut self.controls[control].leader {
                Rc::make_mut(&mut leader.admission).tick(time, &leader.state);
                self.collect(control);
            }
        }
        for entry in 0..2 {
            if self.entries[entry].alive && !self.entries[entry].frozen {
                self.step_entry(entry, EntryInput::Tick, false);
            }
        }
    }

    /// Delivers and commits until nothing moves.
    pub fn deliver_all(&mut self) {
        // Bounded, so that two machines that answer each other for ever are noticed.
        for _ in 0..200 {
            let mut moved = false;
            for control in 0..2 {
                for entry in 0..2 {
                    let link = &self.links[entry][control];
                    moved |= !link.late.is_empty() || !link.upward.is_empty();
                    moved |= !link.downward.is_empty() && !self.entries[entry].frozen;
                    self.deliver_late(entry, control);
                    self.deliver_up(entry, control);
                    self.deliver_down(entry, control);
                }
                let leads = !self.controls[control].deposed;
                let pending = self.controls[control].leader.as_ref();
                if leads && pending.is_some_and(|leader| !leader.pending.is_empty()) {
                    self.commit(control, 1);
                    moved = true;
                }
            }
            if !moved {
                return;
            }
        }
        panic!("the machines never come to rest");
    }
}

fn link_is_quiet(world: &World, entry: usize, control: usize) -> bool {
    let link = &world.links[entry][control];
    !link.up && link.late.is_empty()
}
