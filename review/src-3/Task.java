/** What the executors know of the work items of a step: its size and how long it takes. */
record Task(int count, int cpu, long workMs, boolean lasting, boolean gang) {}
