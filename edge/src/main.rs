fn main() {
    wellcrank_edge::main();
}
