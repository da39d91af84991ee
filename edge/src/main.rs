//! The gateway as a separate program.

fn main() {
    wellcrank_edge::main();
}
