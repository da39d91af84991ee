//! The edge node as a program of its own.

fn main() {
    wellcrank_edge::main();
}
