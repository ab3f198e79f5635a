/** Version of the daemon, printed by `--version`. */
export const daemonVersion = '0.1.0';
