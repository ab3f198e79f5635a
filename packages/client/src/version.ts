/** Version of the client, printed by `--version`. */
export const clientVersion = '0.1.0';
