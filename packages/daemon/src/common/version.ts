/** Version of the daemon, as `--version` prints it. */
export const daemonVersion = '0.1.0';
