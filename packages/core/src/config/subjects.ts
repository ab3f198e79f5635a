import type {ConfigOp} from './types.js';

/** Subject of the document as a whole. Every applied document changes it. */
export const documentSubject = 'document';

/** Returns the subject that an operation changes. `ConfigView` lists the forms of subjects. */
export function subjectOf(op: ConfigOp): string {
	switch (op.op) {
		case 'putCustomer': {
			return `customer:${op.customer.name}`;
		}

		case 'deleteCustomer': {
			return `customer:${op.name}`;
		}

		case 'putAdapter': {
			return `adapter:${op.adapter.name}`;
		}

		case 'deleteAdapter': {
			return `adapter:${op.name}`;
		}

		case 'putRoute': {
			return `route:${op.route.name}`;
		}

		case 'deleteRoute': {
			return `route:${op.name}`;
		}

		case 'setDocumentDigest': {
			return documentSubject;
		}

		case 'issueKey': {
			return `key:${op.key.id}`;
		}

		case 'withdrawKey': {
			return `key:${op.keyId}`;
		}

		case 'takeZoneOut':
		case 'bringZoneIn': {
			return `zone:${op.zone}`;
		}

		case 'drainServer':
		case 'undrainServer': {
			return `server:${op.server}`;
		}
	}
}
