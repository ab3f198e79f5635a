import type {TransferPart} from './pending-reservation.js';
import type {RateCommand} from './types.js';

/** Command that returns tokens of a transfer to the holder that sent them. */
export function returnTransfer(
	part: Pick<TransferPart, 'peer' | 'transferId'>,
	customer: string,
	tokens: number,
): RateCommand {
	const {peer, transferId} = part;
	return {type: 'returnTransfer', peer, transferId, customer, tokens};
}
