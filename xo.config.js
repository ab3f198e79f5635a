/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**']},
	{
		prettier: 'compat',
		rules: {
			// The house style keeps the customary short names.
			'unicorn/prevent-abbreviations': 'off',
			// Tests assert on events in nested `describe` blocks of node:test, which return promises.
			'@typescript-eslint/no-floating-promises': [
				'error',
				{
					allowForKnownSafeCalls: [
						{
							from: 'package',
							name: ['describe', 'it', 'test', 'suite'],
							package: 'node:test',
						},
					],
				},
			],
		},
	},
];

export default config;
