/** Version of the client, as `--version` prints it. */
export const clientVersion = '0.1.0';
