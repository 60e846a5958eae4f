//! Counts of what is under way at a VM.

use std::cell::Cell;
use std::rc::Rc;

use super::node::Node;

/// Counts a session or the work of another VM for as long as it exists, also when a fault ends it.
#[derive(Debug)]
pub struct Counted {
    node: Rc<Node>,
    counter: fn(&Node) -> &Cell<usize>,
}

impl Counted {
    /// Counts one more.
    pub fn new(node: Rc<Node>, counter: fn(&Node) -> &Cell<usize>) -> Self {
        let count = counter(&node);
        count.set(count.get() + 1);
        Self { node, counter }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let count = (self.counter)(&self.node);
        count.set(count.get().saturating_sub(1));
    }
}
