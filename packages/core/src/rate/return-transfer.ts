import type {TransferPart} from './gathering.js';
import type {RateCommand} from './types.js';

/** Gives tokens of a transfer back to the holder that they came from. */
export function returnTransfer(
	part: Pick<TransferPart, 'peer' | 'transferId'>,
	customer: string,
	tokens: number,
): RateCommand {
	const {peer, transferId} = part;
	return {type: 'returnTransfer', peer, transferId, customer, tokens};
}
