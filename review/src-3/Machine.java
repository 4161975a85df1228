/** A machine and the life of its executor; null while it is away. */
record Machine(String name, int cpu, String state, Executor executor) {}
